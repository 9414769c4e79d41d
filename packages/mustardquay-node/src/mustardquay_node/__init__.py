"""The mustardquayd daemon: I/O around the decision logic of `mustardquay`."""
