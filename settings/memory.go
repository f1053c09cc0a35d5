package settings

// Ranges of [memory] answers_mib. A smaller limit would not hold an answer of a plain service, 8 MiB
// and the fields around it, with its copy.
const (
	minAnswerMiB = 18
	maxAnswerMiB = 64 << 10
)

// memorySection declares the limits of a process's memory.
func memorySection(answerMiB *int) Section {
	return Section{
		Name: "memory",
		Doc:  "Limits of the memory that the process takes.",
		Keys: []Key{
			{Name: "answers_mib", Default: "32", Value: Int(answerMiB, minAnswerMiB, maxAnswerMiB), Doc: "MiB for the answers of all calls together, with their copies; the first 64 KiB of each do not count. Answers without room are given up."},
		},
	}
}
