"""Loss and return of a whole site: verdict on each site, transfer of its load, admission, and slow start.
Pure.

``view.SitesView`` combines them as ``(now, facts) -> steps``, without clock, input or output.
"""
