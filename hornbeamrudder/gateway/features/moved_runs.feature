Feature: Runs that are moved between engines

  Scenario Outline: A run that may not be repeated does not start anew when its destination fails
    # Guards against a second run of a stream whose copy was lost (rule TWICE).
    When a stream with <events> events and <attempts> attempts is stopped by its engine "<stop>" and its destination is "<destination>"
    Then no engine starts it anew
    And the client is not told that it has not run

    Examples: destinations
      | events | attempts | stop      | destination   |
      | 0      | 1        | confirmed | not listening |
      | 0      | 1        | refused   | not listening |
      | 0      | 1        | unknown   | not listening |
      | 0      | 2        | refused   | not listening |
      | 0      | 2        | confirmed | full          |
      | 0      | 2        | refused   | full          |
      | 0      | 2        | unknown   | full          |
      | 0      | 3        | confirmed | full          |
      | 0      | 2        | confirmed | another id    |
      | 0      | 3        | refused   | another id    |
      | 0      | 2        | confirmed | reset         |
      | 0      | 2        | confirmed | unsealed      |
      | 0      | 2        | confirmed | garbled       |
      | 0      | 1        | confirmed | hang          |
      | some   | 1        | confirmed | not listening |
      | some   | 1        | refused   | not listening |
      | some   | 2        | unknown   | not listening |
      | some   | 3        | confirmed | full          |
      | some   | 3        | confirmed | another id    |
      | some   | 2        | confirmed | reset         |

  Scenario Outline: A resumable stream starts anew when the engine that it goes on at fails
    # Guards against cutting streams that may be repeated.
    When a resumable stream with <events> events leaves its engine and the next one is "<destination>"
    Then the client receives the complete stream

    Examples: engines
      | events | destination   |
      | 0      | not listening |
      | 0      | full          |
      | some   | not listening |
      | some   | full          |
