"""What outlives the process: a seat's promises."""
