// Package documenter generates the text of the reference pages in docs from the tables in the code.
package documenter
