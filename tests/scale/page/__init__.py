"""Works the tables of docs/CAPACITY.md out of the measured slopes and the stated size.

`size` reads the size, `figures` holds a figure and how it is known, `gateway` and `control` hold the rows of
each role, `render` makes the text, and `__main__` puts it into the page.
"""
