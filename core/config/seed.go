package config

// NewCollectionObject returns the first version of a collection's object, as a deployment stores it before hosts run.
func NewCollectionObject(c Collection) Object {
	o := empty(CollectionScope(c.Name))
	o.Version = 1
	o.Collection = &c
	return o
}
