"""The mustardquay command for operators."""
