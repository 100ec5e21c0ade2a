"""The deployment of fault runs: its methods and settings, and the configuration of a gateway.

The module holds plain data only and starts nothing.
"""

from __future__ import annotations

from typing import Any

from linenbridge.faults import checker
from linenbridge.faults.fake_world import LOOPBACK, FakeMethod, World

METHODS = {
    "quote": FakeMethod("quote", 0.012, True, 0.25, 1.0, 3.0),
    "lookup": FakeMethod("lookup", 0.008, True, 0.25, 1.0, 1.0),
    "confirm": FakeMethod("confirm", 0.010, False, 0.25, 1.0, 5.0),
}
PATHS = {
    "quote": ("/v1/quote/a", "GET"),
    "lookup": ("/v1/slots?day=3", "GET"),
    "confirm": ("/v1/bookings", "POST"),
}
SETTINGS = """<linenbridge xmlns="urn:linenbridge:premises:1">
  <processor listen="127.0.0.1:{port}">
    <tickets use-within="100ms" remember="1m"/>
    <store file="handed.db"/>
    <proof status="503" header="x-never-ran" value="1"/>
    <partner name="desk" address="127.0.0.0/8" ours="true" attempts="3" fail-open="{fail_open}"/>
    <routes><![CDATA[
route quotes   {{ when path starts "/v1/quote/" and verb is "GET"  method "quote"
                  tenant header("x-tenant") else "none" deadline 1s }}
route slots    {{ when path is "/v1/slots"      method "lookup"  tenant header("x-tenant")  deadline 1s }}
route bookings {{ when path is "/v1/bookings" and verb is "POST"  method "confirm"
                  tenant header("x-tenant")  deadline 1s }}
    ]]></routes>
  </processor>
</linenbridge>
"""
RULE_LIMITS = checker.RuleLimits(spare_attempts=3.0, window=2.0, grace=0.6, proxy_delay=0.15, closed_stages=1)


def configuration(world: World, listen: int) -> dict[str, Any]:
    """Return the configuration that the platform would give a gateway of this deployment."""
    profiles = [
        {
            "name": method.name,
            "aim": method.soft_deadline,
            "give_up": method.deadline,
            "worth": method.utility,
            "idempotency": "repeatable" if method.idempotent else "once",
        }
        for method in METHODS.values()
    ]
    return {
        "name": "drill",
        "listen": f"{LOOPBACK}:{listen}",
        "discovery": world.discovery,
        "seed": "2a",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "platform": {"address": world.platform, "news": world.rollout_state()},
        "known": world.endpoint_list(True),
        "settings": {
            "discovery": "push",
            "profiles": profiles,
            "balancers": 1,
            "slot_no": 0,
            "family_info": {
                "gate_mode": "share",
                "style": "beside",
                "shares": [0.2, 1.0],
                "caps": [0.2, 1.0],
                "closed_stages": 1,
                "per": "all",
                "spare_tries": 3.0,
                "forward_only": False,
                "vote_stands": 6.0,
                "answer_wait": 1.0,
            },
            "permissions": {
                "max_attempts": 3,
                "second_copies": True,
                "may_cancel": True,
                "retry_after": True,
                "max_retry_after": 1.0,
                "idle_close": 15.0,
                "connect_timeout": 0.25,
            },
            "rules": {"cold_from": 0.4, "cold": 2.0, "fall_multiple": 3.0},
        },
    }
