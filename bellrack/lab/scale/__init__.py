"""Scale runs: hollow balancers, hundreds to thousands in a process, and what each role of a tier costs."""
