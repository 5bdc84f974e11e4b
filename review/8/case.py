"""A heartbeat of another writer, with fields missing."""

import pathlib
import time

from parts import fleet as fleets
from parts import scene as scenes

SERVICE = "core"


def main() -> None:
    """Plays the case."""
    folder = pathlib.Path(__file__).resolve().parent
    scene = scenes.Scene(folder / "record.txt")
    loop, fleet = scene.loop, scene.fleet
    try:
        place = (fleet.address(240, 1), 8443)
        fleet.configure(
            3, [("r-core", place, SERVICE, "non_idempotent")], [SERVICE]
        )
        scene.start_edges(2)
        for _ in range(2):
            for zone in scenes.ZONES:
                scene.add_side(zone, SERVICE)
        scene.start_clients(2)
        scene.lead()
        flows = scenes.LongFlows(scene, scene.route(1, 8443), 60, 0.5)
        loop.run(10.0)
        victim = scene.endpoints[0]
        held = sum(not flow.ended for flow in victim.flows.values())
        if fleets.has_trouble():
            body = {
                "service": SERVICE,
                "slots": 1,
                "state": "ready",
                "sequence": 1,
                "born": int(time.time() * 1000),
            }
            status = victim.call("PUT", "/instances/i-other", body)
            loop.log(f"another writer's heartbeat {body} -> {status}")
            loop.log(f"{victim.name} holds {held} flows")
        loop.run(10.0)
        flows.stopped = True
        loop.run(3.0)
        resets = [
            note for note in scene.notes if note[1] == "reset" and note[4]
        ]
        answered = sum(note[1] == "answered" for note in scene.notes)
        crashed = fleet.check_running()
        loop.log(f"{flows.sent} requests sent, {answered} answered")
        loop.log(f"{len(resets)} open flows reset")
        code, text = fleets.HELD, "no open flow was reset"
        if resets:
            code = fleets.BROKEN
            text = f"FLOW: {len(resets)} flows open at a living endpoint reset"
        elif answered < 100 or crashed:
            code, text = fleets.NOT_RUN, f"answered {answered}, {crashed}"
    except fleets.NotRunError as exc:
        code, text = fleets.NOT_RUN, str(exc)
    finally:
        fleet.close()
    fleets.finish(loop, code, text)


if __name__ == "__main__":
    main()
