"""Metrics of one sender in the Prometheus text format; labels are kinds and results, never names."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)


class Metrics:
    """The metrics of one sender and their registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.submissions = Counter(
            "brassweir_messages_taken",
            "Hand-ins by class and by what they were",
            ["class_name", "how"],
            registry=self.registry,
        )
        self.answers = Counter(
            "brassweir_final_answers", "Final answers", ["class_name", "answer"], registry=self.registry
        )
        self.answer_age = Histogram(
            "brassweir_answer_seconds",
            "From hand-in to final answer",
            ["class_name", "answer"],
            buckets=BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.attempts = Counter(
            "brassweir_attempts", "Attempts by how they ended", ["kind", "result"], registry=self.registry
        )
        self.open = Gauge("brassweir_messages_open", "Messages without an answer", registry=self.registry)
        self.in_flight = Gauge(
            "brassweir_attempts_out", "Attempts without an outcome", registry=self.registry
        )
        self.late_outcomes = Counter(
            "brassweir_late_outcomes", "Outcomes after the answer", registry=self.registry
        )
        self.turns = Counter(
            "brassweir_decision_turns", "Calls of the decision module", registry=self.registry
        )
        self.events = Counter("brassweir_decision_events", "Events given to it", registry=self.registry)
        self.decision_cpu = Counter(
            "brassweir_decision_cpu_seconds", "CPU time spent in it", registry=self.registry
        )
        self.notes = Counter(
            "brassweir_notes",
            "What was turned away, stray or late, by kind",
            ["event"],
            registry=self.registry,
        )
        self.chunks = Counter(
            "brassweir_forward_chunks", "Chunks read, by mode", ["mode"], registry=self.registry
        )
        self.chunk_events = Counter("brassweir_forward_events", "Entries in them", registry=self.registry)
        self.chunk_bytes = Counter(
            "brassweir_forward_bytes", "Their bytes as they came", registry=self.registry
        )
        self.forward_answers = Counter(
            "brassweir_forward_told", "What sources were told", ["what"], registry=self.registry
        )
        self.forward_buffered = Gauge(
            "brassweir_forward_held_bytes", "Held of chunks begun or unanswered", registry=self.registry
        )
        self.forward_waiting = Gauge(
            "brassweir_forward_waiting", "Connections waiting for their turn", registry=self.registry
        )
        self.forward_connections = Gauge(
            "brassweir_forward_connections", "Sources' connections", registry=self.registry
        )
        self.ownership_refusals = Counter(
            "brassweir_not_here", "Messages refused by ownership, by why", ["why"], registry=self.registry
        )
        self.loop_stall = Gauge(
            "brassweir_loop_stall_seconds",
            "Longest delay of the loop since the last look",
            registry=self.registry,
        )

    def add_gauges(self, name: str, help_text: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Register gauges with the label ``what``, whose values ``read`` returns at each scrape."""
        self.registry.register(_GaugeReader(name, help_text, read))

    def text(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)


class _GaugeReader(Collector):
    def __init__(self, name: str, help_text: str, read: Callable[[], Mapping[str, float]]) -> None:
        self.name, self.help_text, self.read = name, help_text, read

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Return the present values."""
        family = GaugeMetricFamily(self.name, self.help_text, labels=["what"])
        for what, value in sorted(self.read().items()):
            family.add_metric([what], value)
        yield family
