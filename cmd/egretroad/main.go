// Command egretroad is the database proxy and its operators' client.
package main

func main() {}
