"""Canary rollouts: a new version gets few requests until its answers are judged."""

from coursekeel.canary._conductor import CONDUCTORS, Conductor
from coursekeel.canary._judge import Judge, SequentialJudge
from coursekeel.canary._messages import (
    CANARY_MARK,
    RolloutMessage,
    RolloutReport,
    Ruling,
    UnreadableRollout,
    decode_rollout,
    encode_report,
    encode_ruling,
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
    "CANARY_MARK",
    "CONDUCTORS",
    "CanaryBounds",
    "Conductor",
    "Evidence",
    "Judge",
    "Phase",
    "PoolRollout",
    "RecordConflict",
    "RecordFailed",
    "RolloutMessage",
    "RolloutOrder",
    "RolloutRecord",
    "RolloutRecords",
    "RolloutReport",
    "RolloutState",
    "Rollouts",
    "RowKey",
    "Ruling",
    "SequentialJudge",
    "Side",
    "Tally",
    "UnreadableRollout",
    "decode_rollout",
    "encode_report",
    "encode_ruling",
    "order_id",
    "pool_of_order",
    "row_for_route",
]
