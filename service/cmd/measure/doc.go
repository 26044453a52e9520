// Command measure compares rollout policies in virtual time and prints tables in Markdown.
package main
