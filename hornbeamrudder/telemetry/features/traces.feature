Feature: Distributed tracing

  Scenario: The spans of a request on two nodes have the caller's trace id
    # Guards against traces that end at the first hop and against handovers
    # that start a new trace.
    Given two nodes that export traces to files
    When a caller streams with a traceparent while the node is stopped
    Then the trace has the spans receive, admit, dispatch, hand over, take over
    And the engine has received the same trace id
