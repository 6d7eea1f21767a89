package callagent

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/pion/sdp/v3"

	"indigodrift/internal/isup"
)

// readSession checks that a session description (RFC 4566) has an audio stream with a port and an address. A description that is
// too long for an ISUP message is reduced to the address and port of the media. The media itself doesn't pass through the program.
func readSession(text []byte) (string, error) {
	var session sdp.SessionDescription
	if len(text) == 0 {
		return "", errors.New("no session description")
	}
	if err := session.Unmarshal(text); err != nil {
		return "", fmt.Errorf("session description: %w", err)
	}
	for _, media := range session.MediaDescriptions {
		connection := media.ConnectionInformation
		if connection == nil {
			connection = session.ConnectionInformation
		}
		if media.MediaName.Media != "audio" || media.MediaName.Port.Value == 0 || connection == nil || connection.Address == nil {
			continue
		}
		if len(text) <= isup.MaxSessionSize {
			return string(text), nil
		}
		return pcmuSession(connection.Address.Address, media.MediaName.Port.Value), nil
	}
	return "", errors.New("session description without an audio stream that has a port and an address")
}

// pcmuSession returns a session description of PCMU audio at an address and a port.
func pcmuSession(address string, port int) string {
	return "v=0\r\no=- 0 0 IN IP4 " + address + "\r\ns=-\r\nc=IN IP4 " + address +
		"\r\nt=0 0\r\nm=audio " + strconv.Itoa(port) + " RTP/AVP 0\r\n"
}

// remoteSessionOf returns the session description of the other side of a call, or that of the own switch if none was given.
func (a *Agent) remoteSessionOf(userInfo isup.UserInfo, circuit circuitKey) string {
	if userInfo.Present&isup.PartSession != 0 && userInfo.Session != "" {
		if _, err := readSession([]byte(userInfo.Session)); err == nil {
			return userInfo.Session
		}
	}
	return pcmuSession(a.config.MediaAddress, 20000+2*int(circuit.cic))
}
