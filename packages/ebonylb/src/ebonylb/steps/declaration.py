"""Declaration with which a trainer opens or resumes a step."""

import base64
import binascii

from pydantic import BaseModel, ConfigDict, Field, model_validator

MAX_SLOTS = 65_536  # bounds the memory of one declaration


class StepDeclaration(BaseModel):
    """Declaration of one step by its trainer.

    Slots are numbered ``prompt index * samples_per_group + sample index``.
    `acknowledged` is a bitmap in base64: slot ``i`` is bit ``i % 8``, counted from the
    least significant, of byte ``i // 8``. Slots of missing bytes are not acknowledged.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    trainer: str = Field(min_length=1, max_length=100)
    step: int = Field(ge=0, lt=2**53)
    session: int = Field(ge=1, lt=2**53)
    acknowledged: str = ""
    prompts: list[str] = Field(min_length=1)
    samples_per_group: int = Field(ge=1, le=MAX_SLOTS)
    max_tokens: int = Field(ge=1, le=10_000_000)
    trainer_version: int = Field(ge=0, lt=2**53)
    staleness_bound: int = Field(ge=0, lt=2**53)
    service: str = Field(min_length=1, max_length=100)
    seed: int = Field(0, ge=0, lt=2**53)

    @model_validator(mode="after")
    def check_slots(self) -> "StepDeclaration":
        """Reject too many slots and a bitmap that does not match the slots."""
        if self.slots > MAX_SLOTS:
            raise ValueError(
                f"prompts: {self.slots} slots; at most {MAX_SLOTS} are valid, counted "
                "as prompts times samples_per_group"
            )
        self.acknowledged_slots()
        return self

    @property
    def slots(self) -> int:
        """Number of samples of the step."""
        return len(self.prompts) * self.samples_per_group

    def acknowledged_slots(self) -> set[int]:
        """Return the slots whose samples the trainer already has.

        Raises
        ------
        ValueError
            The bitmap is not base64 or marks slots that the step does not have.
        """
        try:
            bitmap = base64.b64decode(self.acknowledged, validate=True)
        except binascii.Error as error:
            raise ValueError(
                f"acknowledged: {error}; a bitmap in standard base64 is valid"
            ) from error
        number = int.from_bytes(bitmap, "little")
        if number >> self.slots:
            raise ValueError(
                f"acknowledged: marks slot {number.bit_length() - 1}; slots 0 to "
                f"{self.slots - 1} are valid"
            )
        return {slot for slot in range(self.slots) if number >> slot & 1}


def encode_acknowledged(slots: set[int]) -> str:
    """Encode slots as the bitmap that a trainer sends."""
    bitmap = bytearray(max(slots, default=-1) // 8 + 1)
    for slot in slots:
        bitmap[slot // 8] |= 1 << (slot % 8)
    return base64.b64encode(bitmap).decode()
