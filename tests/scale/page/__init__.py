"""Works the tables of docs/CAPACITY.md out of the measured slopes and the stated size.

`size` reads the size, `families` the outcomes of the scale tests, and `figures` defines a figure and how it
is known. `gateway` (with `gateway_requests`, `gateway_tables`, `gateway_view`) and `control` (with
`distribution`) have the rows of each role, `render` makes the text, and `__main__` puts it into the page.
"""
