package schedule

// interferes reports whether a worker has a task that would slow down the tasks of the group or be slowed down by them. What
// the group itself has placed counts only if the kind of its tasks slows itself.
func (g *taskGroup) interferes(w *Worker) bool {
	return g.avoided != 0 && !g.ignoresKinds && g.hasAvoided(w)
}

func (g *taskGroup) hasAvoided(w *Worker) bool {
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
	isEarlier := true // Of workers that are equally good, the first one is chosen.
	for _, w := range workers {
		if w == chosen {
			isEarlier = false
		} else if g.hasAvoided(w) && fits(w) && (g.isBetter(w, chosen) || isEarlier && !g.isBetter(chosen, w)) {
			return true
		}
	}
	return false
}
