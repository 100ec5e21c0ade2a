"""Compute the tables of docs/CAPACITY.md from the measured slopes and the stated size of an installation.

`size` loads the size, `families` loads the outcomes of the scale tests, and `figures` defines figures and
rows. `gateway` (with `gateway_requests`, `gateway_tables`, `gateway_view`) and `control` (with
`distribution`) return the rows of each role, `render` renders them as Markdown, and `__main__` writes the
page.
"""
