"""What fronts settle among themselves, over the datagrams between them. Nothing here does I/O."""
