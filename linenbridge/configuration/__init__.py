"""Settings of our own: what the platform's configuration does not say."""
