"""What each role of a deployment costs by its size: measurements, slopes and the tables of the capacity page."""
