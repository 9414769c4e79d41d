"""The mustardquayd process: the I/O around the decisions."""
