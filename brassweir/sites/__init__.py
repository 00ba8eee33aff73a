"""Loss of a whole site, pure: the verdict on each site, where its load goes, what is refused first, and how
it comes back. ``view.View`` is their sum: ``(now, facts) -> steps``. No clock, no input or output."""
