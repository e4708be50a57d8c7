package config

// NewCollectionObject returns the first version of a collection's object, which a deployment stores before it starts hosts.
func NewCollectionObject(c Collection) Object {
	o := initialObject(CollectionScope(c.Name))
	o.Version = 1
	o.Collection = &c
	return o
}
