"""Text protocol of the simulator: reads lines as events, writes actions as lines; runs several gateways.

A line is a keyword and `name=value` fields, separated by tabs. A batch of lines starts with ROUND, which
gives the time, and ends with FLUSH. ABOUT gives the number of the gateway that the next lines are for.
MANIFEST and the M lines after it hold a host list, to which ROSTER_CHANGE lines refer.
"""

from __future__ import annotations

import functools
import math
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TextIO

from coralvale import interface as api
from coralvale.logic import Gateway

Fields = dict[str, str]  # by name


class MalformedLine(ValueError):
    """A line is malformed or out of place; the message quotes it."""


OUTCOMES = {
    "pass": api.Outcome.OK,
    "fault": api.Outcome.ERROR,
    "no_room": api.Outcome.FULL,
    "too_slow": api.Outcome.TIMEOUT,
    "no_route": api.Outcome.CONNECT_FAILED,
    "cut": api.Outcome.RESET,
    "undone": api.Outcome.CANCELLED,
    "stale_send": api.Outcome.NOT_SENT,
}
LIST_KINDS = {
    "D": api.ListKind.CHANGES,
    "F": api.ListKind.FULL,
    "C": api.ListKind.CACHED,
    "X": api.ListKind.FAILED,
}
HOST_STATES = {
    "healthy": api.HostState.HEALTHY,
    "cordoned": api.HostState.DRAINING,
    "deregistered": api.HostState.GONE,
}
IDEMPOTENCY_KINDS = {
    "free": api.Idempotency.SAFE,
    "guarded": api.Idempotency.KEYED,
    "single_shot": api.Idempotency.UNSAFE,
}
LOAD_REPORT_VIA = {
    "inline": api.LoadReportVia.ANSWERS,
    "on_probe": api.LoadReportVia.PROBE,
    "off": api.LoadReportVia.NONE,
}


def split_fields(parts: Iterable[str]) -> Fields:
    fields: Fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals:
            raise ValueError(f"field without '=': {part!r}")
        fields[name] = value
    return fields


def read_value(fields: Fields, key: str, convert: Callable[[str], Any], default: Any = None) -> Any:
    """One setting, converted; SettingsError if that fails, or if it is missing and has no default."""
    if key not in fields:
        if default is None:
            raise api.SettingsError(f"{key}: missing")
        return default
    try:
        return convert(fields[key])
    except (ValueError, KeyError, OverflowError):
        raise api.SettingsError(f"{key}: cannot use {fields[key]!r}") from None


def parse_bool(text: str) -> bool:
    return {"true": True, "false": False, "1": True, "0": False}[text]


def parse_list(text: str) -> tuple[str, ...]:
    return tuple(item for item in text.split(",") if item)


def parse_int(text: str) -> int:
    """Also accepts a number such as 3.0 or 1e3; drops any fraction."""
    return int(float(text))


def read_settings(fields: Fields) -> api.Settings:
    """The settings of a gateway; ignores unknown fields."""

    get = functools.partial(read_value, fields)
    classes = []
    for i in range(get("classes.count", parse_int)):
        prefix = f"classes.{i}."
        classes.append(
            api.RequestClass(
                name=get(prefix + "name", str, f"class {i}"),
                latency_target=get(prefix + "aim_s", float),
                timeout=get(prefix + "give_up_s", float),
                worth=get(prefix + "worth", float),
                idempotency=get(prefix + "repeat", IDEMPOTENCY_KINDS.__getitem__),
                dedup_scope=get(prefix + "group", api.DedupScope, api.DedupScope.ALL),
                key_ttl=get(prefix + "key_ttl_s", float, 0.0),
                streamed=get(prefix + "streaming", parse_bool, False),
                late_worth=get(prefix + "late_value", float, 0.0),
            )
        )
    plans = []
    for i in range(get("packages.count", parse_int)):
        prefix = f"packages.{i}."
        plans.append(
            api.Plan(
                name=get(prefix + "name", str, f"plan {i}"),
                rate=get(prefix + "per_second", float),
                burst=get(prefix + "most_at_once", float),
                open_limit=get(prefix + "concurrency", float, 0.0),
                price=get(prefix + "value_factor", float, 1.0),
                excess_worth=get(prefix + "excess_worth", float, 0.0),
                excess_cost=get(prefix + "excess_cost", float, 0.0),
                ceiling_rate=get(prefix + "never_over_rate", float, 0.0),
                ceiling_burst=get(prefix + "hard_burst", float, 0.0),
                ceiling_slack=get(prefix + "tolerance", float, 0.0),
            )
        )
    return api.Settings(
        gateways=get("n_instances", parse_int),
        index=get("me", parse_int, 0),
        zone=get("locality", parse_int, 0),
        classes=tuple(classes),
        plans=tuple(plans),
        drain_grace=get("rules.stop_sending_within_s", float),
        cold_capacity=get("rules.cold_from", float),
        warm_up_time=get("rules.ramp_time_s", float),
        overload_multiple=get("rules.fall_multiple", float),
        overload_window=get("rules.overload_for_s", float),
        answer_slack=get("rules.answer_slack_s", float, 0.0),
        max_attempts=get("ceilings.send_cap", parse_int),
        may_hedge=get("ceilings.second_copies", parse_bool, False),
        may_cancel=get("ceilings.may_cancel", parse_bool, False),
        may_probe=get("ceilings.may_probe", parse_bool, False),
        may_count=get("family_info.may_count", parse_bool, False),
        counter_timeout=get("family_info.count_wait_s", float, 0.0),
        meter_period=get("family_info.use_period_s", float, 0.0),
        post_paid=get("family_info.post_paid", parse_bool, False),
        list_on_request=get("registry_mode", {"pushed": False, "on_request": True}.__getitem__, False),
        ask_within=get("rules.ask_within_s", float, 0.0),
        load_report_via=get("load_info.via", LOAD_REPORT_VIA.__getitem__, api.LoadReportVia.NONE),
        load_report_fields=get("load_info.columns", parse_list, ()),
        retry_after_allowed=get("ceilings.retry_after", parse_bool, False),
        max_retry_after=get("ceilings.max_retry_after_s", float, 0.0),
        max_units=get("family_info.most_units", float, math.inf),
    )


def read_host(fields: Fields) -> api.HostInfo:
    return api.HostInfo(
        id=fields["host"],
        state=HOST_STATES[fields["health"]],
        scale=float(fields.get("scale", "1")),
        zone=int(fields.get("region_part", "0")),
        cell=int(fields.get("group", "0")),
        kind=int(fields.get("machine", "0")),
        started_at=float(fields.get("launched_s", "0")),
    )


def read_load_report(fields: Fields) -> tuple[float, ...]:
    return tuple(float(value) for value in fields.get("health_info", "").split(",") if value)


def read_request(fields: Fields) -> api.Request:
    return api.Request(
        id=fields["tid"],
        class_index=int(fields["band"]),
        plan_index=int(fields["tariff"]),
        customer=int(fields["member"]),
        entry_gateways=int(fields.get("n_entries", "1")),
        expires_at=float(fields["expires_s"]),
        units=float(fields.get("price_units", "1")),
    )


def read_attempt_done(fields: Fields) -> api.AttemptDone:
    # `quota_use` is the metered use in percent of the rate, plus 1; 0 stands for no value in both fields.
    usage, units = float(fields.get("quota_use", "0")), float(fields.get("cost", "0"))
    return api.AttemptDone(
        request=fields["tid"],
        attempt=int(fields["n"]),
        outcome=OUTCOMES[fields["outcome"]],
        delay=float(fields["delay_seen_s"]),
        request_done=fields.get("over", "0") == "1",
        usage=(usage - 1) / 100 if usage else None,
        units=units or None,
        load_report=read_load_report(fields),
    )


EVENT_READERS: dict[str, Callable[[Fields], api.Event]] = {
    "INGRESS": read_request,
    "FIRST": lambda f: api.StreamStarted(f["tid"], int(f["n"]), float(f["delay_seen_s"])),
    "DONE": read_attempt_done,
    "GONE": lambda f: api.RequestAbandoned(f["tid"]),
    "TIMEOUT_FIRED": lambda f: api.TimerFired(int(f["mark"])),
    "PROBE_DONE": lambda f: api.ProbeDone(
        f["host"], OUTCOMES[f["outcome"]], float(f["delay_seen_s"]), read_load_report(f)
    ),
    "COUNTER_REPLY": lambda f: api.CounterReply(
        int(f["entry_name"]), f["outcome"] == "pass", float(f.get("level", "0")), f["outcome"] == "too_slow"
    ),
}

ACTION_WRITERS: dict[type, Callable[[Any], str]] = {
    api.Send: lambda a: f"HAND_OFF\ttid={a.request}\thost={a.host}\tuntil_s={a.deadline:.6f}",
    api.Cancel: lambda a: f"ABORT_ATTEMPT\ttid={a.request}\tn={a.attempt}",
    api.Refuse: lambda a: f"OVERLOAD_REPLY\ttid={a.request}\tcool_down_s={a.retry_after:.6f}",
    api.Fail: lambda a: f"SURRENDER\ttid={a.request}",
    api.SetTimer: lambda a: f"WAKE_AT\tmark={a.token}\tsleep_for_s={a.delay:.6f}",
    api.Probe: lambda a: f"PROBE\thost={a.host}",
    api.CounterAdd: lambda a: (
        f"POST_AMOUNT\tentry_name={a.name}\tby={a.amount:.6f}\tlives_s={a.lifetime:.6f}"
    ),
    api.FollowList: lambda a: "TRACK\tactive=1",
    api.FetchList: lambda a: "FETCH",
    api.Log: lambda a: f"PRINT\tmessage={a.text}",
}


class Adapter:
    """Reads batches of lines, passes each event to its gateway and writes one reply for each batch.

    A gateway exists from a HELLO line to an EXIT line; the instance number in ABOUT lines identifies it.
    """

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}  # by instance number
        self.host_lists: dict[int, tuple[api.HostInfo, ...]] = {}  # by the number in their MANIFEST line

    def run(self, source: Iterable[str], sink: TextIO) -> None:
        lines = iter(source)
        for line in lines:
            sink.write(self.handle_batch(line, lines))
            sink.flush()

    def handle_batch(self, first: str, lines: Iterator[str]) -> str:
        """The reply to the batch whose first line is `first` and whose other lines come from `lines`."""
        reply: list[str] = []
        reply_instance = instance = -1  # none yet
        now, line, in_batch = 0.0, first, False
        while True:
            text = line.rstrip("\r\n")
            try:
                keyword, *parts = text.split("\t")
                if keyword == "FLUSH":
                    break
                actions: list[api.Action] | str = []
                if keyword == "ROUND":
                    now, in_batch = float(split_fields(parts)["moment_s"]), True
                elif not in_batch:
                    raise ValueError("not within a batch")
                elif keyword == "ABOUT":
                    instance = int(split_fields(parts)["i"])
                elif keyword == "MANIFEST":
                    self._read_host_list(split_fields(parts), lines)
                else:
                    actions = self._handle_event(now, instance, keyword, parts)
            except (ValueError, KeyError, IndexError) as error:
                raise MalformedLine(f"cannot read line {text!r}: {error!r}") from error
            if actions and reply_instance != instance:
                reply.append(f"AS\ti={instance}")
                reply_instance = instance
            if isinstance(actions, str):
                reply.append(f"CRASH\tmessage={actions}")
            else:
                reply.extend(ACTION_WRITERS[type(action)](action) for action in actions)
            line = next(lines, "")
            if not line:
                raise MalformedLine(f"input ended within a batch, after line {text!r}")
        reply.append("DONE\n")
        return "\n".join(reply)

    def _read_host_list(self, fields: Fields, lines: Iterator[str]) -> None:
        hosts = []
        for _ in range(int(fields["items"])):
            text = next(lines, "").rstrip("\r\n")
            keyword, *parts = text.split("\t")
            if keyword != "M":
                raise ValueError(f"expected an M line, got {text!r}")
            try:
                hosts.append(read_host(split_fields(parts)))
            except (ValueError, KeyError) as error:
                raise MalformedLine(f"cannot read line {text!r}: {error!r}") from error
        self.host_lists[int(fields["list"])] = tuple(hosts)

    def _handle_event(
        self, now: float, instance: int, keyword: str, parts: list[str]
    ) -> list[api.Action] | str:
        """The actions that a gateway returns for one event, or the text of the exception that it raised."""
        if keyword == "HELLO":
            fields = split_fields(parts)
            seed = int(fields["nonce64"])
            return self._call_gateway(lambda: self._start_gateway(instance, fields, seed))
        if keyword == "EXIT":
            self.gateways.pop(instance, None)
            return []
        if keyword == "ROSTER_CHANGE":
            fields = split_fields(parts)
            kind = LIST_KINDS[fields["how"]]
            hosts = () if kind is api.ListKind.FAILED else self.host_lists[int(fields["list"])]
            event: api.Event = api.HostList(kind, hosts)
        elif keyword in EVENT_READERS:
            event = EVENT_READERS[keyword](split_fields(parts))
        elif keyword == "MAIL":
            return []
        else:
            raise ValueError("unknown keyword")
        gateway = self.gateways[instance]
        return self._call_gateway(lambda: gateway.handle(now, event))

    def _start_gateway(self, instance: int, settings: Fields, seed: int) -> list[api.Action]:
        self.gateways[instance] = Gateway(read_settings(settings), seed)
        return []

    @staticmethod
    def _call_gateway(call: Callable[[], list[api.Action]]) -> list[api.Action] | str:
        """The result of the call, or the text of the exception that it raised, on one line."""
        try:
            return call()
        except Exception as error:  # of any kind: it becomes a CRASH line
            return f"{type(error).__name__}: {error}".replace("\n", " ").replace("\t", " ")


def main() -> int:
    try:
        Adapter().run(sys.stdin, sys.stdout)
    except MalformedLine as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
