"""What the processor of the base wrote: responses to proxies and its store, held against this version."""
