"""Routes: map a request at a proxy to the method, tenant, key and times of its RPC.

`language` parses the text of the routes, `regexes` rejects regular expressions that can take too long,
`checks` finds contradictions between rules, and `table` compiles checked rules into a routing table.
"""
