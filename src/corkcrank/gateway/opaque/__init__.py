"""The opaque front: calls whose bodies are not read, with their stages and streams."""
