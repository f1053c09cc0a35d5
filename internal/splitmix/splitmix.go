package splitmix

// increment is the step of SplitMix64's state.
const increment = 0x9e3779b97f4a7c15

// Finalise is the finaliser of SplitMix64. It maps 0 to 0.
func Finalise(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Next is the output of SplitMix64 after one step from the state x.
func Next(x uint64) uint64 {
	return Finalise(x + increment)
}
