// Command rwload is under construction.
package main

func main() {}
