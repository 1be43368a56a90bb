"""Faults of a service behind a failing front end or path: answers are lost, and calls are refused before and after."""
import random
import threading
import time

# Longest delay of a call whose answer is lost and that is carried out late, and longest time for which its connection stays open without an answer.
MAX_LATE_S = 3.5
MAX_HANG_S = 2.5
# Lengths of the phases of a fault that alternates, and of the refusals that follow a lost answer.
LOSS_PHASE_S = (0.02, 0.6)
REFUSAL_PHASE_S = (0.1, 2.5)
REFUSAL_S = (0.2, 4.0)


class LossAndRefusal:
    """Loses answers of calls, which are carried out at once or late, and refuses the calls that follow.

    Either each lost answer is followed by refusals, to the same source or to all; or both alternate, and reset_connections() is called at the start of
    each phase of refusals; or answers are lost on the connections that were open when the fault began, and calls on new ones are refused. A refused
    call does nothing.
    """

    def __init__(self, generator, sources, lossy_paths, refused_paths, statuses, reset_connections):
        self.random = random.Random(generator.random())
        self.sources = sources
        self.lossy_paths = generator.choice(lossy_paths)
        self.refused_paths = generator.choice(refused_paths)
        self.statuses = generator.choice(statuses)
        self.reset_connections = reset_connections
        self.loss_share = generator.choice([0.1, 0.4, 1.0])
        self.late_share = generator.choice([0.0, 0.5, 1.0])
        self.hang_share = generator.choice([0.0, 0.5, 1.0])
        self.is_for_all = generator.random() < 0.5
        self.phases_s = (generator.uniform(*LOSS_PHASE_S), generator.uniform(*REFUSAL_PHASE_S)) if generator.random() < 0.4 else None
        self.is_by_connection = not self.phases_s and self.random.random() < 0.3
        self.started_at = time.monotonic()
        self.refused_until = {}
        self.is_refusing = False

    def find_phase_end(self, now):
        """Returns whether an alternating fault refuses calls, and when the phase ends."""
        loss_s, refusal_s = self.phases_s
        position = (now - self.started_at) % (loss_s + refusal_s)
        return position >= loss_s, now + (loss_s - position if position < loss_s else loss_s + refusal_s - position)

    def decide(self, call, path):
        """Returns the status of a refused call, (delay of the call, time that its connection stays open) of a lost answer, or None."""
        if self.sources is not None and call.source not in self.sources:
            return None
        now = time.monotonic()
        group = None if self.is_for_all else call.source
        if self.phases_s:
            was_refusing = self.is_refusing
            self.is_refusing, phase_end = self.find_phase_end(now)
            if self.is_refusing and not was_refusing:
                self.reset_connections()
        elif self.is_by_connection:
            self.is_refusing = call.connected_at > self.started_at
        else:
            self.is_refusing = now < self.refused_until.get(group, 0.0)
        if self.is_refusing:
            status = self.random.choice(self.statuses)
            status = 503 if status == 507 and path != "/log-append" else status
            return status if path.startswith(self.refused_paths) else None
        if not path.startswith(self.lossy_paths) or self.random.random() >= self.loss_share:
            return None
        late_s = self.random.uniform(0.2, MAX_LATE_S) if self.random.random() < self.late_share else 0.0
        if self.phases_s:
            return late_s, phase_end - now
        hang_s = self.random.uniform(0.1, MAX_HANG_S) if self.random.random() < self.hang_share else 0.0
        self.refused_until[group] = now + hang_s + self.random.uniform(*REFUSAL_S)
        return late_s, hang_s


class FaultyService:
    """The part of a stand-in that answers calls under its faults; late_calls counts the calls that are still to be carried out."""

    def __init__(self):
        self.faults = []
        self.late_calls = 0
        self.late_lock = threading.Lock()
        # (time, source, path, what happened, subject) of the calls that a fault took, and of what is worth a line beside them.
        self.trace = []

    def add_trace(self, source, path, what, subject):
        self.trace.append((time.time(), source, path, what, subject))

    def respond_under_faults(self, call, path, subject, carry_out):
        """Returns the answer of carry_out() unless a fault takes the call."""
        verdicts = (fault.decide(call, path) for fault in list(self.faults))
        verdict = next((verdict for verdict in verdicts if verdict is not None), None)
        if verdict is None:
            return carry_out()
        if isinstance(verdict, int):
            self.add_trace(call.source, path, "refused with %d" % verdict, subject)
            return verdict, b""
        late_s, hang_s = verdict
        if late_s is None:
            self.add_trace(call.source, path, "refused, connection closed after %.2f s" % hang_s, subject)
            time.sleep(hang_s)
            return None
        self.add_trace(call.source, path, "answer lost, connection closed after %.2f s, carried out after %.2f s" % (hang_s, late_s), subject)
        closes_at = time.monotonic() + hang_s
        if late_s > 0:
            with self.late_lock:
                self.late_calls += 1
            threading.Thread(target=self.carry_out_late, args=(late_s, carry_out), daemon=True).start()
        else:
            carry_out()
        time.sleep(max(0.0, closes_at - time.monotonic()))
        return None

    def carry_out_late(self, delay_s, carry_out):
        time.sleep(delay_s)
        carry_out()
        with self.late_lock:
            self.late_calls -= 1
