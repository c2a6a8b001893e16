package schedule

// interferes reports whether a worker has a task that would slow down the tasks of the group or be slowed down by them. What
// the group itself has placed counts only if the kind of its tasks slows itself.
func (g *taskGroup) interferes(w *Worker) bool {
	if g.avoided == 0 || g.ignoresKinds {
		return false
	}
	return w.Kinds&g.avoided != 0 || g.kind&g.avoided != 0 && g.tasksOnWorker[w.Number()] > 0
}

// isDiverted reports whether a task that fits on the chosen worker would be placed on another one without regard to the kinds
// of the tasks there.
func (g *taskGroup) isDiverted(chosen *Worker, workers []*Worker, fits func(w *Worker) bool) bool {
	if g.interferes(chosen) {
		return false
	}
	g.ignoresKinds = true
	defer func() { g.ignoresKinds = false }()
	for _, w := range workers {
		if w.Kinds&g.avoided == 0 && (g.kind&g.avoided == 0 || g.tasksOnWorker[w.Number()] == 0) {
			continue // The choice among these workers doesn't depend on kinds.
		}
		if fits(w) && g.isBetter(w, chosen) {
			return true
		}
	}
	return false
}
