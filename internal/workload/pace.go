package workload

// pace slows down what fills beside a run whose tail is near its target.
func (e *Engine) pace(*session) {}

func (e *Engine) onPace(PaceDone) {}
