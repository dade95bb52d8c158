"""What each role of a deployment costs by its size: measurements, slopes and the capacity page's tables."""
