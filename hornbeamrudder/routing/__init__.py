"""Worker selection and division of worker slots between nodes."""
