Feature: Retries

  Scenario: Retries stay within their share of the traffic
    # Guards against retries that multiply the load after a wave.
    Then for any order of requests and failures retries are at most 10% of the requests

  Scenario: A call that may have run is never repeated unless idempotent
    # Guards against a booking that runs twice.
    Then no failure with an uncertain outcome of a non-idempotent call is retried

  Scenario Outline: What the caller is told
    # Guards against a retry that cannot help and an outcome that is not true.
    Given a failed attempt that is <idempotent>, <outcome>, <kind>, with <tried> tried, <left> seconds left, <saved> retries saved and <candidates> candidates
    Then the decision is <decision>

    Examples:
      | idempotent     | outcome | kind          | tried | left | saved | candidates | decision |
      | idempotent     | UNKNOWN | INTERRUPTED   | 1     | 5    | 1     | 2          | retry    |
      | non-idempotent | NOT_RUN | NOT_CONNECTED | 1     | 5    | 1     | 2          | retry    |
      | non-idempotent | UNKNOWN | INTERRUPTED   | 1     | 5    | 1     | 2          | unknown  |
      | non-idempotent | NOT_RUN | NOT_CONNECTED | 1     | 5    | 0.9   | 2          | not_run  |
      | idempotent     | UNKNOWN | INTERRUPTED   | 1     | 5    | 0.9   | 2          | failed   |
      | idempotent     | UNKNOWN | INTERRUPTED   | 1     | -1   | 1     | 2          | failed   |
      | idempotent     | NOT_RUN | NOT_CONNECTED | 1     | 5    | 1     | 0          | not_run  |
      | idempotent     | NOT_RUN | NOT_CONNECTED | 3     | 5    | 1     | 2          | not_run  |
      | idempotent     | FAILED  | INVALID       | 1     | 5    | 1     | 2          | failed   |
