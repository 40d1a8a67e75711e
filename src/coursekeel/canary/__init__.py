"""Canary rollouts: a new version gets few requests until its answers are judged."""

from coursekeel.canary._conductor import CONDUCTORS, Conductor
from coursekeel.canary._judge import Judge, SequentialJudge
from coursekeel.canary._messages import (
    ROLLOUT_PREFIX,
    RolloutDecision,
    RolloutMessage,
    RolloutReport,
    UnreadableRollout,
    decode_rollout,
    encode_decision,
    encode_report,
)
from coursekeel.canary._model import (
    CanaryBounds,
    Phase,
    RecordConflict,
    RecordFailed,
    RolloutOrder,
    RolloutRecord,
    RolloutRecords,
    RolloutState,
    Side,
    order_id,
    pool_of_order,
)
from coursekeel.canary._rollouts import PoolRollout, Rollouts
from coursekeel.canary._tally import Evidence, RowKey, Tally, row_for_route

__all__ = [
    "CONDUCTORS",
    "ROLLOUT_PREFIX",
    "CanaryBounds",
    "Conductor",
    "Evidence",
    "Judge",
    "Phase",
    "PoolRollout",
    "RecordConflict",
    "RecordFailed",
    "RolloutDecision",
    "RolloutMessage",
    "RolloutOrder",
    "RolloutRecord",
    "RolloutRecords",
    "RolloutReport",
    "RolloutState",
    "Rollouts",
    "RowKey",
    "SequentialJudge",
    "Side",
    "Tally",
    "UnreadableRollout",
    "decode_rollout",
    "encode_decision",
    "encode_report",
    "order_id",
    "pool_of_order",
    "row_for_route",
]
