// Command document writes the generated pages into docs; run it in the root of the repository.
package main
