"""Request path: HTTP proxying, admission, server selection and duties."""
