"""Maintenance freezes: `windows` is when, `holds` what is held now. Of the two kinds, `hold` stands so
far."""
