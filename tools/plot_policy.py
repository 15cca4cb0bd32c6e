"""Plot tail cold start against idle hours for the placement policy and its baselines."""

import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from benchmarks.bench_policy import TTL_MINUTES, scores  # noqa: E402
from benchmarks.traces.shape import PROVING_SEEDS, SHAPES  # noqa: E402
from matplotlib import pyplot  # noqa: E402

WEIGHTS = (0.1, 0.3, 0.5, 0.7, 0.85, 1.0)
BASELINE_TTL_MINUTES = 10
SCORES_PATH = Path("build/policy_scores.jsonl")
FIGURE_FOLDER = Path("docs/design")


def points():
    """Return the policy kind and parameter of each run; each is scored on the first proving seed.

    Returns
    -------
    list of (str, float)
    """
    result = [("policy", weight) for weight in WEIGHTS]
    result += [("ttl", minutes) for minutes in TTL_MINUTES]
    result += [("first come", BASELINE_TTL_MINUTES), ("random host", BASELINE_TTL_MINUTES)]
    return result + [("lru", 0), ("never", 0), ("oracle", 0)]


def draw(shape, score_by_point):
    """Plot the scores of one deployment.

    Parameters
    ----------
    shape : Shape
    score_by_point : dict of (str, float) to Score
    """
    figure, axes = pyplot.subplots(figsize=(8, 5))
    for kind in dict.fromkeys(kind for kind, _ in score_by_point):
        line = [(v, score) for (name, v), score in score_by_point.items() if name == kind]
        hours = [score.idle_hours for _, score in line]
        tails = [max(score.tail_s, 0.05) for _, score in line]
        axes.plot(hours, tails, marker="o", label=kind)
        if len(line) == 1:
            continue
        for value, score in line:
            axes.annotate(f"{value:g}", (score.idle_hours, max(score.tail_s, 0.05)))
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("idle accelerator hours in the judged days")
    axes.set_ylabel("p99 wait of first requests, s")
    axes.set_title(f"{shape.name}: policy by weight, time to live in minutes")
    axes.legend()
    figure.tight_layout()
    figure.savefig(FIGURE_FOLDER / f"policy-{shape.name}.png", dpi=90)


def main():
    """Score all points, write the scores and plot both deployments."""
    SCORES_PATH.parent.mkdir(exist_ok=True)
    with SCORES_PATH.open("w") as table:
        for shape in SHAPES:
            score_by_point = scores(points(), shape, PROVING_SEEDS[:1])
            for (kind, value), score in score_by_point.items():
                row = {"deployment": shape.name, "kind": kind, "value": value}
                row |= {"idle_hours": round(score.idle_hours, 1), "tail_s": round(score.tail_s, 2)}
                row |= {"p95_s": round(score.percentile_s(0.95), 2), "loads": score.loads}
                row |= {"refused": score.refused, "first_requests": len(score.first_waits_ms)}
                table.write(json.dumps(row) + "\n")
                table.flush()
            draw(shape, score_by_point)


if __name__ == "__main__":
    main()
