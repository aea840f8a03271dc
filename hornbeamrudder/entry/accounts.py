"""Authentication of callers by bearer token."""

from returns import result

from ..core import errors
from ..core import hashing
from ..core import types
from ..inventory import schema

BEARER_PREFIX = 'Bearer '
MAX_TOKEN_CHARACTERS = 512


def authenticate(
    document: schema.Document, authorization: str
) -> result.Result[types.Account, errors.Failure]:
    """Return the account of the token in an `Authorization` header."""
    token = authorization.removeprefix(BEARER_PREFIX)
    if (
        not authorization.startswith(BEARER_PREFIX)
        or not 0 < len(token) <= MAX_TOKEN_CHARACTERS
    ):
        return _unauthorized('a bearer token is required')
    account = schema.account_by_token_digest(
        document, hashing.digest(token.encode())
    )
    if account is None:
        return _unauthorized('the token belongs to no account')
    return result.Success(account)


def _unauthorized(
    detail: str,
) -> result.Result[types.Account, errors.Failure]:
    return result.Failure(
        errors.Failure(
            errors.FailureKind.UNAUTHORIZED,
            errors.Step.AUTHENTICATE,
            '',
            detail,
        )
    )
