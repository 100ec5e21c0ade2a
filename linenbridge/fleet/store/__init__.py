"""What outlives the process: an acceptor's promises."""
