// Package estimator learns how much work requests are, so that the cost of one is known before it runs.
//
// The load that it answers: requests that look alike differ in cost a hundredfold, with heavy tails, and costs jump when callers
// change. It learns the distribution of the costs by route, model, customer and body size. A class of which little is known takes
// its estimate from the route as a whole, and that from a prior. A class whose costs have jumped forgets what it had learned.
//
// The memory is one histogram for each of at most Config.MaxClasses classes; the class that was not used for longest goes first.
package estimator
