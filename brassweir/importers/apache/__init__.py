"""Converts Apache httpd balancers and mod_jk workers into endpoint lists."""
