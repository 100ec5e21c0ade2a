"""Routes: the RPC that a request at a proxy belongs to.

`language` parses the text of the routes, `regexes` rejects expensive expressions, `checks` finds
contradictions between rules, and `table` compiles checked rules into the look-up for a proxy's requests.
"""
