// Command crocusway serves large models whose replicas span several hosts.
package main

func main() {}
