// Package refuser defines the reasons for refusals and retries, and the problem details that a refused caller receives.
package refuser
