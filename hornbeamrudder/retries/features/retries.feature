Feature: Retries

  Scenario: Retries stay within the budget
    # Guards against retries that multiply the load after many hosts are lost
    # at once.
    Then for any order of requests and failures retries are at most 10% of the requests

  Scenario: A call that may have run is never repeated unless idempotent
    # Guards against an order that runs twice.
    Then no failure with an uncertain outcome of a non-idempotent call is retried

  Scenario Outline: Decision after a failed attempt
    # Guards against a retry that cannot succeed, and against reporting an
    # outcome that is not known.
    Given a failed attempt that is <idempotent>, <outcome>, <kind>, with <tried> tried, <left> seconds left, <balance> retries available and <candidates> candidates
    Then the decision is <decision>

    Examples:
      | idempotent     | outcome | kind          | tried | left | balance | candidates | decision |
      | idempotent     | UNKNOWN | INTERRUPTED   | 1     | 5    | 1       | 2          | retry    |
      | non-idempotent | NOT_RUN | NOT_CONNECTED | 1     | 5    | 1       | 2          | retry    |
      | non-idempotent | UNKNOWN | INTERRUPTED   | 1     | 5    | 1       | 2          | unknown  |
      | non-idempotent | NOT_RUN | NOT_CONNECTED | 1     | 5    | 0.9     | 2          | not_run  |
      | idempotent     | UNKNOWN | INTERRUPTED   | 1     | 5    | 0.9     | 2          | failed   |
      | idempotent     | UNKNOWN | INTERRUPTED   | 1     | -1   | 1       | 2          | failed   |
      | idempotent     | NOT_RUN | NOT_CONNECTED | 1     | 5    | 1       | 0          | not_run  |
      | idempotent     | NOT_RUN | NOT_CONNECTED | 3     | 5    | 1       | 2          | not_run  |
      | idempotent     | FAILED  | INVALID       | 1     | 5    | 1       | 2          | failed   |
