"""Complete and resumable answers of model engines."""
