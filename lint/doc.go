// Package lint finds what is wrong with operators' documents before they are published:
// entries that can never apply, and values that contradict each other, within one document
// and between documents.
//
// Package config refuses a document that daemons could misread. What lint reports is valid,
// and daemons accept it, but it does not do what it seems to say.
//
//	findings := lint.Check(lint.Input{Sources: []lint.Source{{File: "routes.json", Document: d}}})
//	fmt.Println(lint.Worst(findings))
package lint
