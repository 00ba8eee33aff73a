"""Apache httpd balancers and mod_jk workers: 160 endpoints without copying by hand."""
