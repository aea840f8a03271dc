Feature: Runs that are moved between engines

  Scenario Outline: A run that may not be repeated does not start anew when its destination fails
    # Guards against a second run of a stream whose copy was lost (rule TWICE).
    When a stream with <events> events and <attempts> attempts is stopped by its engine "<stop>" and its destination is "<destination>"
    Then no engine starts it anew
    And the client receives <outcome>

    Examples: destinations
      | events | attempts | stop      | destination   | outcome             |
      | 0      | 1        | confirmed | not listening | the complete stream |
      | 0      | 1        | refused   | not listening | the complete stream |
      | 0      | 1        | unknown   | not listening | the complete stream |
      | 0      | 2        | refused   | not listening | the complete stream |
      | 0      | 2        | confirmed | full          | the complete stream |
      | 0      | 2        | refused   | full          | the complete stream |
      | 0      | 2        | unknown   | full          | the complete stream |
      | 0      | 3        | confirmed | full          | the complete stream |
      | 0      | 2        | confirmed | another id    | the complete stream |
      | 0      | 3        | refused   | another id    | the complete stream |
      | 0      | 2        | confirmed | reset         | status 502          |
      | 0      | 2        | confirmed | unsealed      | status 502          |
      | 0      | 2        | confirmed | garbled       | status 502          |
      | 0      | 1        | confirmed | hang          | status 504          |
      | some   | 1        | confirmed | not listening | the complete stream |
      | some   | 1        | refused   | not listening | the complete stream |
      | some   | 2        | unknown   | not listening | the complete stream |
      | some   | 3        | confirmed | full          | the complete stream |
      | some   | 3        | confirmed | another id    | the complete stream |
      | some   | 2        | confirmed | reset         | a cut stream        |

  Scenario Outline: A run whose copy is lost goes on only at an engine that may have it
    # Guards against streams that are sent to an engine later than its drain
    # time, or started anew because the engine is gone too.
    When a stream with <events> events loses its copy and its engine has "<state>"
    Then no engine starts it anew
    And the client receives <outcome>

    Examples: engines
      | events | state          | outcome             |
      | 0      | time left      | the complete stream |
      | some   | time left      | the complete stream |
      | 0      | crashed        | status 502          |
      | some   | crashed        | a cut stream        |
      | 0      | used its drain | status 502          |
      | some   | used its drain | a cut stream        |
      | 0      | lost the run   | status 502          |
      | some   | lost the run   | a cut stream        |

  Scenario: A run that is moved before its response begins goes on
    # Guards against answers of 502 although another engine has the run.
    When a run is moved before the head of its response
    Then no engine starts it anew
    And the client receives the complete stream

  Scenario: A run that has returned to its engine is moved again before that ends
    # Guards against streams cut although another engine has room.
    When a run returns to its engine, which then ends
    Then no engine starts it anew
    And it goes on at its engine and then at another
    And the client receives the complete stream

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

  Scenario Outline: The answer to the call that moves a run is read
    # Guards against runs that are given up although their engine keeps them,
    # and against handles that change the request they are sent with.
    When an engine answers the call that <call> a run with <status> and the handle <handle>
    Then the run is <result>

    Examples: answers
      | call   | status | handle   | result         |
      | copies | 200    | "h-1"    | copied         |
      | stops  | 200    | "h-1"    | copied         |
      | stops  | 503    | "h-1"    | kept           |
      | copies | 503    | "h-1"    | neither        |
      | stops  | 503    | null     | neither        |
      | stops  | 404    | "h-1"    | neither        |
      | copies | 200    | null     | neither        |
      | copies | 200    | ["h-1"]  | neither        |
      | copies | 200    | "h\r\nx" | neither        |
