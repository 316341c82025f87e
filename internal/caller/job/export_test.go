package job

// WriteRepositoryError is writeRepositoryError of a handler, for tests.
var WriteRepositoryError = (*Handler).writeRepositoryError
