// Command rwctl is under construction.
package main

func main() {}
