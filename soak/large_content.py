"""The large responses of the soak test, whose length the caller chooses."""

from standins.large_response import LargeResponse

_SEGMENT = "large/"


def make_large_target(prefix: str, length: int) -> str:
    """Returns a path whose response has a body of a length."""
    return f"{prefix}{_SEGMENT}{length}"


def find_large_response(
    target: str, request_id: str, is_truncated: bool
) -> LargeResponse | None:
    """Returns the large response to a request, or None if it has a short one.

    Args:
        target: The path of the request.
        request_id: The id of the request, which its body repeats.
        is_truncated: Whether the instance fails in the middle of the body.
    """
    _, segment, length = target.partition(_SEGMENT)
    if not segment:
        return None
    return LargeResponse(
        int(length),
        chunked=int(length) % 2 == 1,
        fails_after=int(length) // 2 if is_truncated else None,
        pattern=f"{request_id}\n".encode(),
    )


def make_content(request_id: str, large_length: int) -> bytes:
    """Returns the complete body of a response.

    Args:
        request_id: The id of the request.
        large_length: The length of the large response, or 0 if it is short.
    """
    target = make_large_target("/", large_length)
    large = find_large_response(target, request_id, is_truncated=False)
    if not large_length or large is None:
        return request_id.encode()
    return large.make_body()
