"""What brassweir needs at the size its operators name: probes, their committed data, fitted slopes, and docs/CAPACITY.md."""
