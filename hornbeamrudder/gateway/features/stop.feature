Feature: Close of client connections, and graceful stop of a node

  Scenario Outline: A stopping node answers the first request of a new connection
    # Guards against closing connections whose request has not arrived yet.
    When a client connects 2.8 seconds after SIGTERM and sends a "<route>" request 0.4 seconds later
    Then the client receives <status> and the connection is closed

    Examples:
      | route | status |
      | look  | 200    |
      | chat  | 503    |

  Scenario: A request that waits in the socket is answered before the close
    # Guards against closing connections whose request has arrived but has not
    # been read.
    When requests arrive on new and kept connections as a stopping node closes idle ones
    Then each of these requests is answered

  Scenario: A request right after a response of a stopping node is answered
    # Guards against closing kept connections right after a response.
    When a stream ends late in a stop and its connection carries another request 0.2 seconds later
    Then the client receives 200 and the connection is closed

  Scenario: A stopping node answers all requests on a connection
    # Guards against dropping requests that were read but not yet handled.
    When three pipelined requests arrive on one connection of a stopping node
    Then all three are answered and only the last response announces the close

  Scenario: A stop leaves no request unanswered when the process exits
    # Guards against accepting requests while the last rows are written.
    When requests are sent to a stopping node until its process exits
    Then no request is in progress then and each accepted one was answered

  Scenario: Connections in the queue of a closed listener are served
    # Guards against resetting connections that have not been accepted yet.
    When a listener is closed while connections wait in its queue
    Then the request of each of them is answered

  Scenario: An incomplete request at the end of a stop receives 503
    # Guards against slow requests that hold up a stop or end unanswered.
    When a client sends the body of its request a byte at a time until a node with 4.2 seconds for its stop exits
    Then the client receives 503 and the node has exited within 4.2 seconds

  Scenario: Silent connections do not hold up a stop
    # Guards against waiting for clients that send nothing.
    When a node with silent and with half-closed connections is stopped
    Then it exits within 5 seconds

  Scenario: A request as its kept connection times out is answered
    # Guards against closing kept connections whose request has arrived but
    # has not been read.
    When a request arrives as its kept connection reaches the idle time
    Then the request on it is answered

  Scenario Outline: A stopping node takes no request that may outlast the stop
    # Guards against accepting requests that are cut at the end of the stop.
    When a "<route>" request with <remaining> ms to its deadline is sent 3 seconds after SIGTERM to a node with 4.5 seconds for its stop
    Then the client receives <status> and <count> servers receive it

    Examples:
      | route | remaining | status | count |
      | book  | 3000      | 503    | 0     |
      | look  | 3000      | 503    | 0     |
      | book  | 400       | 200    | 1     |

  Scenario: Streams that a stopping node refuses use no units of their account
    # Guards against charging an account for requests that were not run.
    When 20 streams of a limited account are requested late in a stop
    Then each of them is refused with 503

  Scenario Outline: No request of a stop is passed on and then cut without an answer
    # Guards against requests taken late in the grace time, among them those
    # that may not be repeated, whose connections end with the process.
    When requests on "<route>" with <remaining> ms to their deadline come until a node with <grace> seconds for its stop exits, and servers <do>
    Then each request that reached a server was answered

    Examples: plain requests
      | route | remaining | grace | do     |
      | book  | 900       | 4.5   | hang   |
      | look  | 900       | 4.5   | hang   |
      | book  | 20000     | 4.5   | hang   |
      | book  | 20000     | 2     | hang   |
      | book  | 20000     | 8     | hang   |

    Examples: streams
      | route | remaining | grace | do     |
      | chat  | 20000     | 4.5   | hang   |
      | chat  | 20000     | 2     | hang   |
      | chat  | 20000     | 2     | answer |
